//! The documentation is consistent: results in `docs/CAPACITY.md` follow from their inputs, and the
//! tests that `docs/PROMISES.md` refers to exist.

use std::{collections::BTreeMap, fs, path::Path};

/// Relative difference allowed between a stated result and the one computed from its inputs, because
/// results are rounded.
const ROUNDING_TOLERANCE: f64 = 0.01;

/// Reads a file by its path relative to the repository.
fn read_document(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(name)).unwrap()
}

/// Splits a line of a Markdown table into its cells.
fn table_cells(line: &str) -> Vec<String> {
    line.trim().trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect()
}

/// Parses the number at the start of a cell, such as `1,200` or `0.5 s`. Returns `None` if there is
/// none, as in `-`.
fn parse_number(text: &str) -> Option<f64> {
    let without_commas: String = text.chars().filter(|c| *c != ',').collect();
    without_commas.split_whitespace().next().and_then(|n| n.parse().ok())
}

fn agrees(stated: f64, computed: f64) -> bool {
    (stated - computed).abs() <= ROUNDING_TOLERANCE * computed.abs().max(0.01)
}

/// Checks all tables with the columns id, count, per unit, base, result and limit, and returns the
/// errors found.
///
/// A result is base + count × per unit. In a row whose id ends in `/total` it is the sum of the
/// results above whose ids have the same prefix. A result above its limit must be marked `BROKEN`.
fn capacity_table_errors(text: &str) -> Vec<String> {
    let mut sums: BTreeMap<String, f64> = BTreeMap::new();
    let mut errors = Vec::new();
    let mut row_count = 0;
    for line in text.lines().filter(|line| line.starts_with("| `")) {
        let cells = table_cells(line);
        let [id, count, per_unit, base, result, limit] = &cells[..6] else { unreachable!() };
        let id = id.trim_matches('`').to_owned();
        row_count += 1;
        let Some(stated) = parse_number(result) else {
            errors.push(format!("{id}: the result is missing"));
            continue;
        };
        let group = id.rsplit_once('/').map_or("", |(group, _)| group).to_owned();
        let computed = match id.ends_with("/total") {
            true => sums.get(&group).copied().unwrap_or(0.0),
            false => match (parse_number(count), parse_number(per_unit), parse_number(base)) {
                (Some(count), Some(per_unit), Some(base)) => base + count * per_unit,
                _ => f64::NAN,
            },
        };
        if !agrees(stated, computed) {
            errors.push(format!("{id}: the stated result is {stated}, its inputs give {computed}"));
        }
        if parse_number(limit).is_some_and(|limit| stated > limit) && !line.contains("BROKEN") {
            errors.push(format!(
                "{id}: the result {stated} exceeds its limit but is not marked BROKEN"
            ));
        }
        *sums.entry(group).or_default() += stated;
    }
    if row_count == 0 {
        errors.push("there are no table rows".to_owned());
    }
    errors
}

#[test]
fn capacity_results_follow_from_their_inputs() {
    assert_eq!(capacity_table_errors(&read_document("docs/CAPACITY.md")), Vec::<String>::new());
}

#[test]
fn capacity_check_finds_wrong_results() {
    let row = |result: &str| format!("| `a/b/c` | 1,000 | 2 | 5 | {result} | 3,000 | |");
    assert_eq!(capacity_table_errors(&row("2,005")), Vec::<String>::new());
    assert_eq!(capacity_table_errors(&row("2,105")).len(), 1);
    assert_eq!(capacity_table_errors("no table").len(), 1);
    let broken = "| `a/b/c` | 1,000 | 4 | 0 | 4,000 | 3,000 | |";
    assert_eq!(capacity_table_errors(broken).len(), 1);
    let total = format!("{}\n| `a/b/total` | - | - | - | 9 | - | |", row("2,005"));
    assert_eq!(capacity_table_errors(&total).len(), 1);
}

/// Returns the references to tests, in the form `` `file.rs::name` ``, whose test does not exist.
fn missing_test_references(text: &str) -> Vec<String> {
    let references = text.split('`').filter(|part| part.contains(".rs::"));
    let is_missing = |name: &&str| {
        let (file, test) = name.split_once("::").unwrap();
        let code = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(file));
        !code.is_ok_and(|code| code.contains(&format!("fn {test}(")))
    };
    references.filter(is_missing).map(str::to_owned).collect()
}

#[test]
fn promises_refer_to_existing_tests() {
    let text = read_document("docs/PROMISES.md");
    assert!(text.contains(".rs::"));
    assert_eq!(missing_test_references(&text), Vec::<String>::new());
}

#[test]
fn promises_check_finds_a_missing_test() {
    assert_eq!(missing_test_references("`tests/documentation.rs::no_such_test`").len(), 1);
    assert_eq!(
        missing_test_references("`tests/documentation.rs::missing_test_references`").len(),
        0
    );
}
