//! SVG plots of measured series.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::series::Series;

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);

/// Plots the points of `series` into the file at `path`.
pub fn write(series: &Series, path: &Path) -> Result<()> {
    let axis_end = |value: fn(&super::series::Point) -> f64| {
        series.points.iter().map(value).fold(1.0, f64::max) * 1.05
    };
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    let draw_error =
        |error: &dyn std::fmt::Display| eyre!("cannot draw {}: {error}", path.display());
    root.fill(&WHITE).map_err(|error| draw_error(&error))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(series.name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..axis_end(|point| point.size), 0.0..axis_end(|point| point.value))
        .map_err(|error| draw_error(&error))?;
    chart
        .configure_mesh()
        .x_desc(series.size_unit)
        .y_desc(series.value_unit)
        .draw()
        .map_err(|error| draw_error(&error))?;
    let points: Vec<(f64, f64)> =
        series.points.iter().map(|point| (point.size, point.value)).collect();
    chart
        .draw_series(LineSeries::new(points.clone(), &BLUE))
        .map_err(|error| draw_error(&error))?;
    let dots = points.into_iter().map(|point| Circle::new(point, 3, BLUE.filled()));
    chart.draw_series(dots).map_err(|error| draw_error(&error))?;
    root.present().map_err(|error| draw_error(&error))
}
