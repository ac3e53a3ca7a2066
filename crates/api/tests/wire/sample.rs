//! Messages with every field filled, each field with a value of its own.

use std::fmt::{Debug, Write};

use prost::Message;
use prost::bytes::Bytes;

/// A value with every field filled.
pub(crate) trait Sample: Sized {
    fn sample(values: &mut Values) -> Self;
}

/// Gives a different value for each field of a message, in the order in which they are asked for.
///
/// Booleans have two values only. A message's samples differ in them: sample 0 sets all, sample `n`
/// sets those whose ordinal has bit `n - 1`, so that no two fields agree in all samples.
pub(crate) struct Values {
    number: u64,
    booleans: u32,
    variant: u32,
}

impl Values {
    /// Variants of a message: enough to tell eight booleans apart.
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

/// Two elements, so that a list differs from a single value.
impl<T: Sample> Sample for Vec<T> {
    fn sample(values: &mut Values) -> Vec<T> {
        vec![values.next(), values.next()]
    }
}

/// The encoded samples, a line for each: the name that the message had in b3d3e00 and its bytes.
#[derive(Default)]
pub(crate) struct Samples {
    lines: String,
}

impl Samples {
    /// Encodes a message in all its variants and checks that each is read back as it was.
    pub(crate) fn add<M>(&mut self, name: &str, build: impl Fn(&mut Values) -> M)
    where
        M: Message + Default + PartialEq + Debug,
    {
        let mut seen = Vec::new();
        for variant in 0..Values::VARIANTS {
            let message = build(&mut Values::new(variant));
            let bytes = message.encode_to_vec();
            let read = M::decode(bytes.as_slice()).expect("the bytes are read back");
            assert_eq!(read, message, "{name} is not read back as it was written");
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
