//! Measures the slopes of the capacity page and writes tables and plots.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::Result;
use pomelopin::capacity::{plot, slope::Slope, state, traffic};

/// Measure the slopes of docs/CAPACITY.md
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct BenchArguments {
    /// Folder for the plots; without it only tables are printed
    #[bpaf(env("POMELOPIN_PLOT_FOLDER"), argument("FOLDER"), optional)]
    plots: Option<PathBuf>,
}

fn main() -> Result<()> {
    let arguments = bench_arguments().run();
    let mut slopes: Vec<Slope> = Vec::new();
    slopes.extend(state::change());
    slopes.extend(state::history());
    slopes.extend(state::snapshot());
    slopes.extend(state::fan_out());
    slopes.extend(state::ownership());
    slopes.extend(state::restart());
    slopes.extend(traffic::renewals());
    slopes.extend(traffic::placement());
    slopes.extend(traffic::limiter());
    slopes.extend(traffic::homes());
    for slope in &slopes {
        println!("{}", slope.rows());
    }
    let (largest, mean) = state::balance();
    println!("Most instances of one owner at the full size: {largest}, mean {mean:.1}");
    if let Some(folder) = arguments.plots {
        std::fs::create_dir_all(&folder)?;
        for slope in &slopes {
            plot::write(slope, &folder.join(file_name(slope.name)))?;
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
