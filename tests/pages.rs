//! The pages agree with themselves and with the code.

use std::{collections::BTreeMap, fs, path::Path};

/// Share by which a stated result may differ from its own arithmetic, for rounding.
const ROUNDING: f64 = 0.01;

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(name)).unwrap()
}

fn cells(line: &str) -> Vec<String> {
    line.trim().trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect()
}

/// Reads a number such as `1,200`, `0.5` or `-`, which is none.
fn number(text: &str) -> Option<f64> {
    let plain: String = text.chars().filter(|c| *c != ',').collect();
    plain.split_whitespace().next().and_then(|n| n.parse().ok())
}

fn is_close(stated: f64, computed: f64) -> bool {
    (stated - computed).abs() <= ROUNDING * computed.abs().max(0.01)
}

/// Checks the tables whose columns are id, count, per unit, base, result and limit, and returns
/// what is wrong with them.
fn capacity_faults(text: &str) -> Vec<String> {
    let mut sums: BTreeMap<String, f64> = BTreeMap::new();
    let mut faults = Vec::new();
    let mut rows = 0;
    for line in text.lines().filter(|line| line.starts_with("| `")) {
        let row = cells(line);
        let [id, count, per_unit, base, result, limit] = &row[..6] else { unreachable!() };
        let id = id.trim_matches('`').to_owned();
        rows += 1;
        let Some(stated) = number(result) else {
            faults.push(format!("{id}: no result"));
            continue;
        };
        let group = id.rsplit_once('/').map_or("", |(group, _)| group).to_owned();
        let computed = match id.ends_with("/total") {
            true => sums.get(&group).copied().unwrap_or(0.0),
            false => match (number(count), number(per_unit), number(base)) {
                (Some(count), Some(per_unit), Some(base)) => base + count * per_unit,
                _ => f64::NAN,
            },
        };
        if !is_close(stated, computed) {
            faults.push(format!("{id}: states {stated}, its inputs give {computed}"));
        }
        if number(limit).is_some_and(|limit| stated > limit) && !line.contains("BROKEN") {
            faults.push(format!("{id}: {stated} is above its limit and not marked BROKEN"));
        }
        *sums.entry(group).or_default() += stated;
    }
    if rows == 0 {
        faults.push("there are no rows".to_owned());
    }
    faults
}

#[test]
fn capacity_follows_from_its_own_inputs() {
    assert_eq!(capacity_faults(&page("docs/CAPACITY.md")), Vec::<String>::new());
}

#[test]
fn capacity_check_finds_planted_faults() {
    let row = |result: &str| format!("| `a/b/c` | 1,000 | 2 | 5 | {result} | 3,000 | |");
    assert_eq!(capacity_faults(&row("2,005")), Vec::<String>::new());
    assert_eq!(capacity_faults(&row("2,105")).len(), 1);
    assert_eq!(capacity_faults("no table").len(), 1);
    let broken = "| `a/b/c` | 1,000 | 4 | 0 | 4,000 | 3,000 | |";
    assert_eq!(capacity_faults(broken).len(), 1);
    let total = format!("{}\n| `a/b/total` | - | - | - | 9 | - | |", row("2,005"));
    assert_eq!(capacity_faults(&total).len(), 1);
}

/// Returns the tests named as `file.rs::name` that do not exist.
fn missing_tests(text: &str) -> Vec<String> {
    let named = text.split('`').filter(|part| part.contains(".rs::"));
    let is_missing = |name: &&str| {
        let (file, test) = name.split_once("::").unwrap();
        let code = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(file));
        !code.is_ok_and(|code| code.contains(&format!("fn {test}(")))
    };
    named.filter(is_missing).map(str::to_owned).collect()
}

#[test]
fn promises_name_tests_that_exist() {
    let text = page("docs/PROMISES.md");
    assert!(text.contains(".rs::"));
    assert_eq!(missing_tests(&text), Vec::<String>::new());
}

#[test]
fn promises_check_finds_a_missing_test() {
    assert_eq!(missing_tests("`tests/pages.rs::no_such_test`").len(), 1);
    assert_eq!(missing_tests("`tests/pages.rs::missing_tests`").len(), 0);
}
