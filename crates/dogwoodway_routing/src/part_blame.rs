//! Blame of prompt parts for crashes of the engines that answer prompts with them.

mod key;

pub use self::key::PartKey;
