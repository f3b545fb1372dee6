//! Measures how state, processor time and messages grow with what a node knows.
//!
//! Each [`ScalingMeasurement`] is a least-squares line through at least four sizes, measured in this process;
//! what a whole process uses is read by [`process_usage`].

mod fit;
mod process;
mod state;

pub use crate::scaling::{
    fit::{LinearFit, ScalingMeasurement},
    process::{ProcessUsage, process_usage},
    state::measure_scaling,
};
