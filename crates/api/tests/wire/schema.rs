//! Reads numbers and types out of the text of a protocol file and leaves the names aside.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Packages in the order in which their files import each other.
pub(crate) const PACKAGES: [&str; 7] = [
    "config",
    "state",
    "replication",
    "command",
    "internal",
    "local",
    "exchange",
];

/// A message or an enum of a protocol file.
struct Declaration {
    is_enum: bool,
    name: String,
    /// The words between its braces; `{`, `}`, `=`, `;` and `,` are words too.
    words: Vec<String>,
}

/// Numbers and types of all files, without a name: what a renaming leaves as it was.
///
/// A line for each field, `package ordinal-of-the-message number [repeated] type [oneof]`. A type
/// that another message declares is `package#ordinal`. Further lines say which numbers are reserved
/// and which an enum has.
pub(crate) fn describe() -> String {
    let files: Vec<(&str, Vec<Declaration>)> = PACKAGES
        .into_iter()
        .map(|package| (package, declarations(&read(package))))
        .collect();
    let mut ordinals = BTreeMap::new();
    for (package, declared) in &files {
        for (ordinal, declaration) in declared.iter().enumerate() {
            let name = format!("millford.{package}.{}", declaration.name);
            ordinals.insert(name, format!("{package}#{ordinal}"));
        }
    }
    let mut lines = String::new();
    for (package, declared) in &files {
        for (ordinal, declaration) in declared.iter().enumerate() {
            let kind = if declaration.is_enum {
                "enum"
            } else {
                "message"
            };
            writeln!(lines, "{package} {ordinal} {kind}").expect("a string grows");
            for line in describe_fields(package, declaration, &ordinals) {
                writeln!(lines, "{package} {ordinal} {line}").expect("a string grows");
            }
        }
    }
    lines
}

fn read(package: &str) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../proto/millford");
    std::fs::read_to_string(format!("{folder}/{package}.proto")).expect("the protocol file")
}

fn split(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    for line in text.lines() {
        let code = line.split("//").next().expect("a first part");
        let mut spaced = String::new();
        for letter in code.chars() {
            if "{}=;,".contains(letter) {
                spaced.push(' ');
                spaced.push(letter);
                spaced.push(' ');
            } else {
                spaced.push(letter);
            }
        }
        words.extend(spaced.split_whitespace().map(str::to_owned));
    }
    words
}

fn declarations(text: &str) -> Vec<Declaration> {
    let words = split(text);
    let mut found = Vec::new();
    let mut at = 0;
    while at < words.len() {
        if words[at] != "message" && words[at] != "enum" {
            at += 1;
            continue;
        }
        assert_eq!(words[at + 2], "{", "after {}", words[at + 1]);
        let begin = at + 3;
        let mut depth = 1;
        let mut end = begin;
        while depth > 0 {
            match words[end].as_str() {
                "{" => depth += 1,
                "}" => depth -= 1,
                _ => {}
            }
            end += 1;
        }
        found.push(Declaration {
            is_enum: words[at] == "enum",
            name: words[at + 1].clone(),
            words: words[begin..end - 1].to_vec(),
        });
        at = end;
    }
    found
}

fn describe_fields(
    package: &str,
    declaration: &Declaration,
    ordinals: &BTreeMap<String, String>,
) -> Vec<String> {
    let mut lines = Vec::new();
    let mut in_oneof = false;
    let mut words: &[String] = &declaration.words;
    while let Some((first, rest)) = words.split_first() {
        match first.as_str() {
            "oneof" => {
                in_oneof = true;
                words = &rest[2..];
                continue;
            }
            "}" => {
                in_oneof = false;
                words = rest;
                continue;
            }
            _ => {}
        }
        let end = words.iter().position(|word| word == ";").expect("a `;`");
        let statement: Vec<&str> = words[..end].iter().map(String::as_str).collect();
        words = &words[end + 1..];
        lines.push(match statement[..] {
            ["reserved", ..] => statement.join(" "),
            [_, "=", number] if declaration.is_enum => format!("{number} value"),
            ["repeated", kind, _, "=", number] => {
                format!("{number} repeated {}", type_of(package, kind, ordinals))
            }
            [kind, _, "=", number] => {
                let oneof = if in_oneof { " oneof" } else { "" };
                format!("{number} {}{oneof}", type_of(package, kind, ordinals))
            }
            _ => panic!("{}: {statement:?} is not understood", declaration.name),
        });
    }
    lines
}

fn type_of(package: &str, name: &str, ordinals: &BTreeMap<String, String>) -> String {
    const SCALARS: [&str; 8] = [
        "uint32", "uint64", "sint64", "fixed64", "double", "bool", "string", "bytes",
    ];
    if SCALARS.contains(&name) {
        return name.to_owned();
    }
    let full = if name.contains('.') {
        name.to_owned()
    } else {
        format!("millford.{package}.{name}")
    };
    match ordinals.get(&full) {
        Some(ordinal) => ordinal.clone(),
        None => panic!("{full} is declared nowhere"),
    }
}
