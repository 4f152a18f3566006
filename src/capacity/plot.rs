//! Plots of slopes as SVG files.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::slope::Slope;

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);

/// Writes one plot with the points of `slope`.
pub fn write(slope: &Slope, path: &Path) -> Result<()> {
    let largest = |value: fn(&super::slope::Point) -> f64| {
        slope.points.iter().map(value).fold(1.0, f64::max) * 1.05
    };
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| eyre!("cannot draw {}: {error}", path.display());
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(slope.name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..largest(|point| point.size), 0.0..largest(|point| point.value))
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc(slope.size_unit)
        .y_desc(slope.value_unit)
        .draw()
        .map_err(|error| failed(&error))?;
    let points: Vec<(f64, f64)> =
        slope.points.iter().map(|point| (point.size, point.value)).collect();
    chart.draw_series(LineSeries::new(points.clone(), &BLUE)).map_err(|error| failed(&error))?;
    let dots = points.into_iter().map(|point| Circle::new(point, 3, BLUE.filled()));
    chart.draw_series(dots).map_err(|error| failed(&error))?;
    root.present().map_err(|error| failed(&error))
}
