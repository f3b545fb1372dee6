//! Straight lines through measured points.

use serde::Serialize;

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// Growth for each unit.
    pub slope: f64,
    /// Value at size 0.
    pub base: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

/// One measured quantity over several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct ScalingMeasurement {
    /// What was measured.
    pub name: String,
    /// Unit of the value and of the size, such as `bytes/team`.
    pub unit: String,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// The line through them.
    pub fit: LinearFit,
}

impl LinearFit {
    /// Fits a line; returns `None` for fewer than two different sizes.
    ///
    /// ```
    /// use dogwoodway_standin::LinearFit;
    ///
    /// let fit = LinearFit::new(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]).unwrap();
    /// assert_eq!((fit.slope, fit.base, fit.residual), (2.0, 3.0, 0.0));
    /// assert!(LinearFit::new(&[(1.0, 5.0)]).is_none());
    /// ```
    pub fn new(points: &[(f64, f64)]) -> Option<LinearFit> {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        if points.is_empty() || sxx == 0.0 {
            return None;
        }
        let slope = sxy / sxx;
        let base = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
        let farthest = points.iter().map(distance).fold(0.0, f64::max);
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        Some(LinearFit { slope, base, residual: farthest / largest })
    }
}

impl ScalingMeasurement {
    /// Measures a value at each size and fits the line.
    pub(crate) fn measure<F>(
        name: &str,
        unit: &str,
        sizes: &[u32],
        measure: F,
    ) -> Option<ScalingMeasurement>
    where
        F: FnMut(u32) -> f64,
    {
        let values = sizes.iter().copied().map(measure);
        let points: Vec<_> = sizes.iter().map(|n| f64::from(*n)).zip(values).collect();
        let fit = LinearFit::new(&points)?;
        Some(ScalingMeasurement { name: name.to_owned(), unit: unit.to_owned(), points, fit })
    }
}
