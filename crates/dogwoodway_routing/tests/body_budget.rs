//! Memory of request bodies.

use dogwoodway_routing::{
    body_budget::{BodyAdmission, BodyBudget},
    process_limits::ProcessLimits,
};
use proptest::prelude::*;

const CAPACITY: u64 = 4 << 20;

#[test]
fn small_bodies_are_read_while_large_ones_wait_or_are_refused() {
    let mut budget = BodyBudget::new(CAPACITY);
    let mut admissions: Vec<_> = (0..60).map(|_| budget.admit(1 << 20)).collect();
    admissions.dedup();
    assert_eq!(admissions, [BodyAdmission::Read, BodyAdmission::Wait, BodyAdmission::Refuse]);
    assert_eq!(budget.admit(4_096), BodyAdmission::Read);
}

#[test]
fn large_body_does_not_overtake_one_that_waits() {
    let mut budget = BodyBudget::new(CAPACITY);
    assert_eq!(budget.admit(3 << 20), BodyAdmission::Read);
    assert_eq!(budget.admit(3 << 20), BodyAdmission::Wait);
    assert_eq!(budget.admit(100 << 10), BodyAdmission::Wait, "though it would fit");
    budget.release(3 << 20);
    assert!(budget.admit_waiting(3 << 20));
}

#[test]
fn body_that_never_fits_does_not_wait() {
    assert_eq!(BodyBudget::new(CAPACITY).admit(CAPACITY + 1), BodyAdmission::Refuse);
}

#[test]
fn connections_and_bodies_fit_in_the_memory_of_small_machines() {
    for (mb, max_descriptors) in
        [(88, 4_100), (110, 4_100), (160, 8_192), (192, 4_100), (260, 4_100), (512, 8_192)]
    {
        let limits = ProcessLimits { max_descriptors, max_memory: mb << 20 };
        let connections = limits.max_client_connections() as u64 * (48 << 10);
        let bodies = limits.body_memory() + limits.response_memory();
        assert!(connections + bodies < limits.max_memory, "{mb} MB");
    }
}

proptest! {
    #[test]
    fn reserved_bytes_never_exceed_the_budget(
        bodies in prop::collection::vec((0..3_000_000_u64, any::<bool>()), 1..80),
    ) {
        let mut budget = BodyBudget::new(CAPACITY);
        let mut read = Vec::new();
        for (bytes, ends) in bodies {
            match budget.admit(bytes) {
                BodyAdmission::Read => read.push(bytes),
                BodyAdmission::Wait => {
                    if budget.admit_waiting(bytes) {
                        read.push(bytes);
                    }
                    budget.end_wait();
                }
                BodyAdmission::Refuse => {}
            }
            prop_assert!(read.iter().sum::<u64>() <= CAPACITY);
            if ends && let Some(bytes) = read.pop() {
                budget.release(bytes);
            }
        }
    }
}
