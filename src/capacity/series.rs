//! Measured values as a function of a size, and their linear fit.

use std::time::{Duration, Instant};

/// Minimum time for which the calls of one point are repeated.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(200);

/// Measured values at several sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Title of the table and the plot; the plot's file name is derived from it.
    pub name: &'static str,
    /// Kind of item that the sizes count.
    pub size_unit: &'static str,
    /// Unit of the measured values.
    pub value_unit: &'static str,
    pub points: Vec<Point>,
}

/// Value measured at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

impl Series {
    /// Creates a series without points.
    pub fn new(name: &'static str, size_unit: &'static str, value_unit: &'static str) -> Self {
        Self { name, size_unit, value_unit, points: Vec::new() }
    }

    pub fn push(&mut self, size: usize, value: f64) {
        self.points.push(Point { size: size as f64, value });
    }

    /// Intercept and slope of the least-squares line through the points.
    pub fn linear_fit(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let mean_size = self.points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = self.points.iter().map(|point| point.value).sum::<f64>() / count;
        let (mut covariance, mut variance) = (0.0, 0.0);
        for point in &self.points {
            covariance += (point.size - mean_size) * (point.value - mean_value);
            variance += (point.size - mean_size).powi(2);
        }
        let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
        (mean_value - slope * mean_size, slope)
    }

    /// Formats the points as a Markdown section with a table and the linear fit.
    pub fn markdown_table(&self) -> String {
        let mut text = format!(
            "### {}\n\n| {} | {} |\n|---:|---:|\n",
            self.name, self.size_unit, self.value_unit
        );
        for point in &self.points {
            text.push_str(&format!("| {} | {:.2} |\n", point.size, point.value));
        }
        let (intercept, slope) = self.linear_fit();
        text.push_str(&format!("\nLine: {intercept:.3} + {slope:.6} per unit.\n"));
        text
    }
}

/// Mean duration of a call in microseconds, repeated for at least [`MIN_SAMPLE_TIME`].
pub fn mean_us<T>(mut call: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    let mut calls = 0_u32;
    while calls == 0 || started.elapsed() < MIN_SAMPLE_TIME {
        std::hint::black_box(call());
        calls += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}
