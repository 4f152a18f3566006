//! Measures how costs grow with the size of the fleet and writes tables and plots.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::Result;
use pomelopin::capacity::{plot, series::Series, state, traffic};

/// Measure the scaling series of docs/CAPACITY.md
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct BenchArguments {
    /// Folder for the plots; without it only tables are printed
    #[bpaf(env("POMELOPIN_PLOT_FOLDER"), argument("FOLDER"), optional)]
    plots: Option<PathBuf>,
}

fn main() -> Result<()> {
    let arguments = bench_arguments().run();
    let mut all_series: Vec<Series> = Vec::new();
    all_series.extend(state::change());
    all_series.extend(state::history());
    all_series.extend(state::snapshot());
    all_series.extend(state::fan_out());
    all_series.extend(state::ownership());
    all_series.extend(state::restart());
    all_series.extend(traffic::renewals());
    all_series.extend(traffic::placement());
    all_series.extend(traffic::limiter());
    all_series.extend(traffic::home_sets());
    for series in &all_series {
        println!("{}", series.markdown_table());
    }
    let (largest, mean) = state::balance();
    println!("Most instances of one owner at the full size: {largest}, mean {mean:.1}");
    if let Some(folder) = arguments.plots {
        std::fs::create_dir_all(&folder)?;
        for series in &all_series {
            plot::write(series, &folder.join(file_name(series.name)))?;
        }
    }
    Ok(())
}

fn file_name(name: &str) -> String {
    let mut text = String::new();
    for c in name.to_lowercase().chars() {
        match c {
            c if c.is_ascii_alphanumeric() => text.push(c),
            _ if text.ends_with('-') => {}
            _ => text.push('-'),
        }
    }
    format!("{}.svg", text.trim_end_matches('-'))
}
