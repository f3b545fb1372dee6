//! Answers of the store in the order in which they arrive, with the eras that they name.

use dogwoodway_routing::direct::store_era::{EraError, EraTracker};
use dogwoodway_types::{LogOffset, LogPosition, StoreEra};
use proptest::prelude::*;

#[test]
fn a_late_answer_of_the_era_before_is_not_used() {
    let (old, new) = (StoreEra(4), StoreEra(5));
    let mut eras = EraTracker::default();
    assert_eq!(eras.admit(Some(old)), Ok(true));
    assert_eq!(eras.admit(Some(new)), Ok(true));
    assert_eq!(eras.admit(Some(old)), Err(EraError::Outdated { era: old, newest: new }));
    assert_eq!(eras.admit(None), Err(EraError::Missing));
    assert_eq!(eras.admit(Some(new)), Ok(false));
}

#[test]
fn a_store_without_eras_is_read_as_before() {
    let mut eras = EraTracker::default();
    for _ in 0..3 {
        assert_eq!(eras.admit(None), Ok(false));
    }
    let position = LogPosition { era: None, offset: LogOffset(9) };
    assert_eq!(position.ordinal(), 9);
    assert_eq!(position.after(2).ordinal(), 11);
}

proptest! {
    #[test]
    fn ordinals_are_in_the_order_of_positions(
        a in (0_u64..2_000, 0_u64..u64::from(u32::MAX)),
        b in (0_u64..2_000, 0_u64..u64::from(u32::MAX)),
    ) {
        let position = |(era, offset)| LogPosition {
            era: Some(StoreEra(era)),
            offset: LogOffset(offset),
        };
        let (a, b) = (position(a), position(b));
        prop_assert_eq!(a.cmp(&b), a.ordinal().cmp(&b.ordinal()));
    }
}
