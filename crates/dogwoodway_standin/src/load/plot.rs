//! Plots of the times to first token over the course of runs.

use std::path::Path;

use plotters::prelude::*;

use crate::load::report::LoadReport;

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (960, 480);

/// Draws [`LoadReport::per_second_ms`] of each run as a line and writes the plot as SVG.
pub(crate) fn write_svg(reports: &[LoadReport], file: &Path) -> Result<(), String> {
    draw(reports, file).map_err(|e| format!("failed to write the plot {}: {e}", file.display()))
}

fn draw(reports: &[LoadReport], file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = reports.iter().map(|r| r.per_second_ms.len()).max().unwrap_or(1);
    let worst = reports.iter().flat_map(|r| &r.per_second_ms).fold(1.0_f64, |a, b| a.max(*b));
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0..seconds, 0.0..worst)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (i, report) in reports.iter().enumerate() {
        let style = Palette99::pick(i).stroke_width(2);
        let points = report.per_second_ms.iter().copied().enumerate();
        chart.draw_series(LineSeries::new(points, style))?;
    }
    root.present()?;
    Ok(())
}
