//! Metrics of one program under a common prefix.

use std::fmt::{self, Debug, Formatter};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::text,
    metrics::{counter::Counter, gauge::Gauge},
    registry::{Metric, Registry, Unit},
};

/// Registry that hands out metrics and writes them as text.
pub struct MetricSet(Mutex<Registry>);

impl Debug for MetricSet {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("MetricSet").finish_non_exhaustive()
    }
}

impl MetricSet {
    /// Set whose names begin with `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self(Mutex::new(Registry::with_prefix(prefix)))
    }

    /// New gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.add(name, help)
    }

    /// New counter.
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        self.add(name, help)
    }

    /// New metric of any kind with a default.
    pub fn add<M: Metric + Clone + Default>(&self, name: &str, help: &str) -> M {
        let metric = M::default();
        self.0.lock().register(name, help, metric.clone());
        metric
    }

    /// Adds a metric that is counted in `unit`.
    pub fn add_with_unit<M: Metric>(&self, name: &str, help: &str, unit: Unit, metric: M) {
        self.0.lock().register_with_unit(name, help, unit, metric);
    }

    /// All metrics as text.
    pub fn encode(&self) -> String {
        let mut buf = String::new();
        if let Err(error) = text::encode(&mut buf, &self.0.lock()) {
            spdlog::error!("cannot encode the metrics: {error}");
        }
        buf
    }
}
