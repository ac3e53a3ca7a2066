//! Describes the numbers and types in the protocol files, without their names.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Packages, ordered so that each file only imports files before it.
pub(crate) const PACKAGES: [&str; 7] = [
    "config",
    "state",
    "replication",
    "command",
    "internal",
    "local",
    "exchange",
];

/// Declaration of a message or an enum in a protocol file.
struct Declaration {
    is_enum: bool,
    name: String,
    /// The tokens between its braces; `{`, `}`, `=`, `;` and `,` are separate tokens.
    tokens: Vec<String>,
}

/// Describes the numbers and types of all files, without names, so that the description does not change when
/// something is renamed.
///
/// Each field has a line `package ordinal-of-the-message number [repeated] type [oneof]`. A message or enum
/// type is written as `package#ordinal`. Further lines have the reserved numbers and the values of enums.
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

fn tokenize(text: &str) -> Vec<String> {
    let mut tokens = Vec::new();
    for line in text.lines() {
        let code = line.split("//").next().expect("a first part");
        let mut spaced = String::new();
        for character in code.chars() {
            if "{}=;,".contains(character) {
                spaced.push(' ');
                spaced.push(character);
                spaced.push(' ');
            } else {
                spaced.push(character);
            }
        }
        tokens.extend(spaced.split_whitespace().map(str::to_owned));
    }
    tokens
}

fn declarations(text: &str) -> Vec<Declaration> {
    let tokens = tokenize(text);
    let mut found = Vec::new();
    let mut at = 0;
    while at < tokens.len() {
        if tokens[at] != "message" && tokens[at] != "enum" {
            at += 1;
            continue;
        }
        assert_eq!(tokens[at + 2], "{", "after {}", tokens[at + 1]);
        let begin = at + 3;
        let mut depth = 1;
        let mut end = begin;
        while depth > 0 {
            match tokens[end].as_str() {
                "{" => depth += 1,
                "}" => depth -= 1,
                _ => {}
            }
            end += 1;
        }
        found.push(Declaration {
            is_enum: tokens[at] == "enum",
            name: tokens[at + 1].clone(),
            tokens: tokens[begin..end - 1].to_vec(),
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
    let mut tokens: &[String] = &declaration.tokens;
    while let Some((first, rest)) = tokens.split_first() {
        match first.as_str() {
            "oneof" => {
                in_oneof = true;
                tokens = &rest[2..];
                continue;
            }
            "}" => {
                in_oneof = false;
                tokens = rest;
                continue;
            }
            _ => {}
        }
        let end = tokens.iter().position(|token| token == ";").expect("a `;`");
        let statement: Vec<&str> = tokens[..end].iter().map(String::as_str).collect();
        tokens = &tokens[end + 1..];
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
            _ => panic!("{}: unsupported statement {statement:?}", declaration.name),
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
        None => panic!("{full} is not declared"),
    }
}
