//! Comparison of version names.

use std::cmp::Ordering;

/// Compares version names. Runs of digits compare as numbers, so that `v10` is greater than `v9`.
#[must_use]
pub fn compare_versions(left: &str, right: &str) -> Ordering {
    let left_parts = parts(left);
    let right_parts = parts(right);
    left_parts.cmp(&right_parts).then_with(|| left.cmp(right))
}

/// Part of a version name; text sorts before numbers.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    Text(String),
    Number(u64),
}

fn parts(version: &str) -> Vec<Part> {
    let mut parts = Vec::new();
    let mut digits = String::new();
    let mut text = String::new();
    for character in version.chars() {
        if character.is_ascii_digit() {
            flush_text(&mut text, &mut parts);
            digits.push(character);
        } else {
            flush_digits(&mut digits, &mut parts);
            text.push(character);
        }
    }
    flush_text(&mut text, &mut parts);
    flush_digits(&mut digits, &mut parts);
    parts
}

fn flush_text(text: &mut String, parts: &mut Vec<Part>) {
    if !text.is_empty() {
        parts.push(Part::Text(std::mem::take(text)));
    }
}

fn flush_digits(digits: &mut String, parts: &mut Vec<Part>) {
    if !digits.is_empty() {
        parts.push(Part::Number(digits.parse().unwrap_or(u64::MAX)));
        digits.clear();
    }
}
