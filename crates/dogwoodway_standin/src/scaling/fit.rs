//! Least-squares fits to measured values.

use serde::Serialize;

/// A line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value of the line at size 0.
    pub base: f64,
    /// Largest vertical distance of a point from the line, as a share of the largest absolute
    /// value.
    pub residual: f64,
}

/// Values of one quantity at several sizes, and the line fitted to them.
#[derive(Clone, Debug, Serialize)]
pub struct ScalingMeasurement {
    /// Name of the measured quantity.
    pub name: String,
    /// Unit of the slope: that of the value per that of the size, such as `bytes/team`.
    pub unit: String,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
    /// Line fitted to the points.
    pub fit: LinearFit,
}

impl LinearFit {
    /// Fits a line to pairs of size and value. Returns `None` for fewer than two different sizes.
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
    /// Calls `measure` with each size and fits a line to the values. Returns `None` for fewer than
    /// two different sizes.
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
