//! Registry for the metrics of one process.

use std::fmt::{self, Debug, Formatter};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::text,
    metrics::{counter::Counter, gauge::Gauge},
    registry::{Metric, Registry, Unit},
};

/// Registry that creates metrics and encodes them in the text format.
pub struct MetricSet(Mutex<Registry>);

impl Debug for MetricSet {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("MetricSet").finish_non_exhaustive()
    }
}

impl MetricSet {
    /// Registry whose metric names begin with `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self(Mutex::new(Registry::with_prefix(prefix)))
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.add(name, help)
    }

    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        self.add(name, help)
    }

    /// Registers a metric of any type with a default value.
    pub fn add<M: Metric + Clone + Default>(&self, name: &str, help: &str) -> M {
        let metric = M::default();
        self.0.lock().register(name, help, metric.clone());
        metric
    }

    /// Registers a metric that is measured in `unit`.
    pub fn add_with_unit<M: Metric>(&self, name: &str, help: &str, unit: Unit, metric: M) {
        self.0.lock().register_with_unit(name, help, unit, metric);
    }

    /// Encodes all metrics in the text format.
    pub fn encode(&self) -> String {
        let mut buf = String::new();
        if let Err(error) = text::encode(&mut buf, &self.0.lock()) {
            spdlog::error!("cannot encode the metrics: {error}");
        }
        buf
    }
}
