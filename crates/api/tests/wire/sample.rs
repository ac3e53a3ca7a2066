//! Sample messages in which every field is set, each to a different value.

use std::fmt::{Debug, Write};

use prost::Message;
use prost::bytes::Bytes;

/// A type with a sample value in which every field is set.
pub(crate) trait Sample: Sized {
    fn sample(values: &mut Values) -> Self;
}

/// Generates a different value for each field of a message, in the order of the calls.
///
/// Booleans have only two values, so a message has several sample variants: variant 0 sets all booleans,
/// variant `n` sets those whose ordinal has bit `n - 1`. No two boolean fields are equal in all variants.
pub(crate) struct Values {
    number: u64,
    booleans: u32,
    variant: u32,
}

impl Values {
    /// Number of variants of each message: enough to distinguish eight booleans.
    pub(crate) const VARIANTS: u32 = 4;

    fn new(variant: u32) -> Values {
        Values {
            number: 0,
            booleans: 0,
            variant,
        }
    }

    pub(crate) fn next<T: Sample>(&mut self) -> T {
        T::sample(self)
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

impl Sample for u32 {
    fn sample(values: &mut Values) -> u32 {
        300 + u32::try_from(values.next_number()).expect("a small number")
    }
}

impl Sample for u64 {
    fn sample(values: &mut Values) -> u64 {
        0x1_0000_0000 + values.next_number()
    }
}

impl Sample for i64 {
    fn sample(values: &mut Values) -> i64 {
        -0x1_0000_0000 - i64::try_from(values.next_number()).expect("a small number")
    }
}

impl Sample for f64 {
    fn sample(values: &mut Values) -> f64 {
        f64::from(u32::sample(values)) + 0.25
    }
}

impl Sample for bool {
    fn sample(values: &mut Values) -> bool {
        let ordinal = values.booleans;
        values.booleans += 1;
        values.variant == 0 || ordinal >> (values.variant - 1) & 1 == 1
    }
}

impl Sample for String {
    fn sample(values: &mut Values) -> String {
        format!("text {}", values.next_number())
    }
}

impl Sample for u8 {
    fn sample(values: &mut Values) -> u8 {
        0x80 + u8::try_from(values.next_number()).expect("a small number")
    }
}

impl Sample for Bytes {
    fn sample(values: &mut Values) -> Bytes {
        Bytes::from(Vec::<u8>::sample(values))
    }
}

impl<T: Sample> Sample for Option<T> {
    fn sample(values: &mut Values) -> Option<T> {
        Some(values.next())
    }
}

/// A list has two elements, so that its encoding differs from that of a single value.
impl<T: Sample> Sample for Vec<T> {
    fn sample(values: &mut Values) -> Vec<T> {
        vec![values.next(), values.next()]
    }
}

/// The encoded samples, one per line: the message's name in commit b3d3e00 and its encoding in hexadecimal.
#[derive(Default)]
pub(crate) struct Samples {
    lines: String,
}

impl Samples {
    /// Encodes all variants of a message and checks that each decodes to the same message. Variants with the
    /// same encoding are added once.
    pub(crate) fn add<M>(&mut self, name: &str, build: impl Fn(&mut Values) -> M)
    where
        M: Message + Default + PartialEq + Debug,
    {
        let mut seen = Vec::new();
        for variant in 0..Values::VARIANTS {
            let message = build(&mut Values::new(variant));
            let bytes = message.encode_to_vec();
            let decoded = M::decode(bytes.as_slice()).expect("the encoded message can be decoded");
            assert_eq!(decoded, message, "{name} decodes to another message");
            if !seen.contains(&bytes) {
                writeln!(self.lines, "{name} {}", hex::encode(&bytes)).expect("a string grows");
                seen.push(bytes);
            }
        }
    }

    pub(crate) fn lines(&self) -> &str {
        &self.lines
    }
}
