//! Measurements of how memory, encoded size and processor time grow with the amount of state.
//!
//! A [`ScalingMeasurement`] fits a line to values measured in this process at four sizes or more.
//! [`process_usage`] observes a whole other process.

mod fit;
mod process;
mod state;

pub use crate::scaling::{
    fit::{LinearFit, ScalingMeasurement},
    process::{ProcessUsage, process_usage},
    state::measure_scaling,
};
