//! Plots a run as SVG: answered and failed calls and latency in each second.

use std::path::Path;

use plotters::prelude::*;

use super::call_tally::CallTally;

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 600);

/// Error from drawing or writing a plot.
pub type PlotError = Box<dyn std::error::Error>;

/// Plots `tally` into `file`.
pub fn draw(tally: &CallTally, file: &Path) -> Result<(), PlotError> {
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(PLOT_SIZE.1 as i32 / 2);
    let mut answered = Vec::new();
    let mut failed = Vec::new();
    let mut p50 = Vec::new();
    let mut p99 = Vec::new();
    for (at, second) in tally.seconds.iter().enumerate() {
        let at = at as f64;
        answered.push((at, second.answered as f64));
        failed.push((at, second.failed as f64));
        let quantile = |share| second.latencies.value_at_quantile(share) as f64 / 1_000.0;
        p50.push((at, quantile(0.5)));
        p99.push((at, quantile(0.99)));
    }
    let calls = [
        PlotLine::new("answered", answered, GREEN),
        PlotLine::new("failed", failed, RED),
    ];
    draw_lines(&upper, "calls a second", calls)?;
    let latencies = [
        PlotLine::new("p50", p50, BLUE),
        PlotLine::new("p99", p99, MAGENTA),
    ];
    draw_lines(&lower, "latency, ms", latencies)?;
    area.present()?;
    Ok(())
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// A line of a chart.
struct PlotLine {
    name: &'static str,
    points: Vec<(f64, f64)>,
    color: RGBColor,
}

impl PlotLine {
    fn new(name: &'static str, points: Vec<(f64, f64)>, color: RGBColor) -> Self {
        Self {
            name,
            points,
            color,
        }
    }
}

fn draw_lines(
    area: &PlotArea<'_>,
    title: &str,
    lines: [PlotLine; 2],
) -> Result<(), PlotError> {
    let mut width: f64 = 1.0;
    let mut height: f64 = 1.0;
    for line in &lines {
        for (x, y) in &line.points {
            width = width.max(*x);
            height = height.max(*y);
        }
    }
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..width, 0.0..height * 1.1)?;
    chart.configure_mesh().x_desc("second").draw()?;
    for line in lines {
        let color = line.color;
        let series = LineSeries::new(line.points, color);
        chart
            .draw_series(series)?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
