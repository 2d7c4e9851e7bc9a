//! Patches: the content of a part as differences from an earlier content of it.

use crate::PartTag;
use crate::delta::{Error, malformed};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A part whose content is copied from a base in places.
///
/// Base and content are sequences of [`chunks`]. A patch does not prove what it makes: the
/// receiver verifies the result by its digest, as that of a whole part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Tag of the base.
    pub base: PartTag,
    /// Encoded sequence of [`Step`]. It is decoded step by step, so that a patch takes no
    /// more memory than its bytes.
    steps: Bytes,
    /// The inserted chunks of all steps. They are kept apart from the numbers, since text
    /// without them compresses better.
    inserted: Bytes,
}

/// Appends chunks of the base to the content, and then inserted ones.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct Step {
    /// Number of chunks in the base from the end of the copy before to the start of this one.
    skipped: i32,
    /// Number of chunks that are copied.
    copied: u32,
    /// Number of chunks that are inserted.
    inserted: u32,
}

impl Patch {
    /// Encodes `content` against `base`, whose tag is `tag`; `None` if that is not shorter
    /// than `content`, or if the base is over 2 GB.
    pub fn between(tag: PartTag, base: &[u8], content: &[u8]) -> Option<Self> {
        i32::try_from(base.len()).ok()?;
        let base: Vec<_> = chunks(base).collect();
        let positions = unique_positions(&base);
        let (mut steps, mut inserted) = (Vec::new(), Vec::new());
        let mut step = Step::default();
        // The chunk after the last copy.
        let mut next = 0;
        for chunk in chunks(content) {
            let follows = base.get(next) == Some(&chunk);
            let elsewhere = || positions.get(chunk).copied().flatten();
            let position = if follows { Some(next) } else { elsewhere() };
            let Some(position) = position else {
                inserted.extend_from_slice(chunk);
                step.inserted += 1;
                continue;
            };
            if !follows || step.inserted > 0 {
                push(&mut steps, step);
                step = Step {
                    skipped: position as i32 - next as i32,
                    ..Step::default()
                };
            }
            step.copied += 1;
            next = position + 1;
        }
        push(&mut steps, step);
        let (steps, inserted) = (Bytes::from(steps), Bytes::from(inserted));
        let is_shorter = steps.len() + inserted.len() < content.len();
        is_shorter.then_some(Self {
            base: tag,
            steps,
            inserted,
        })
    }

    /// Decodes the content from its base.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when a step cannot be decoded, copies from outside of the base or
    /// inserts more than there is, and [`Error::TooLong`] when the content is over `max_len`
    /// bytes.
    pub fn apply(&self, base: &[u8], max_len: usize) -> Result<Bytes, Error> {
        let mut starts = vec![0];
        for chunk in chunks(base) {
            starts.push(starts[starts.len() - 1] + chunk.len());
        }
        let mut inserted = chunks(&self.inserted);
        let expected_len = base.len() + self.inserted.len();
        let mut content = Vec::with_capacity(expected_len.min(max_len));
        let mut append = |bytes: &[u8]| {
            if content.len() + bytes.len() > max_len {
                return Err(Error::TooLong);
            }
            content.extend_from_slice(bytes);
            Ok(())
        };
        let mut next = 0_usize;
        let mut rest = &self.steps[..];
        while !rest.is_empty() {
            let (step, tail) = postcard::take_from_bytes::<Step>(rest).map_err(malformed)?;
            let outside = || malformed("a patch copies from outside its base");
            let first = next.checked_add_signed(step.skipped as isize);
            let first = first.ok_or_else(outside)?;
            next = first.saturating_add(step.copied as usize);
            let range = starts.get(first).zip(starts.get(next));
            let (start, end) = range.ok_or_else(outside)?;
            append(&base[*start..*end])?;
            for _ in 0..step.inserted {
                let chunk = inserted.next();
                append(chunk.ok_or_else(|| malformed("a patch inserts nothing"))?)?;
            }
            rest = tail;
        }
        content.shrink_to_fit();
        Ok(Bytes::from(content))
    }
}

fn push(steps: &mut Vec<u8>, step: Step) {
    if step.copied > 0 || step.inserted > 0 {
        let encoded = postcard::to_stdvec(&step).expect("numbers can be encoded");
        steps.extend_from_slice(&encoded);
    }
}

/// Splits JSON after each object that another value follows: entries of a map stay whole,
/// and are the same chunk wherever they are. Chunks of a content that are joined in its
/// order are split again into the same ones.
fn chunks(content: &[u8]) -> impl Iterator<Item = &[u8]> {
    let braces = memchr::memchr_iter(b'}', content).map(|brace| brace + 1);
    let ends = braces.filter(|end| content.get(*end) == Some(&b','));
    let mut start = 0;
    let ends = ends.chain((!content.is_empty()).then_some(content.len()));
    ends.map(move |end| {
        let chunk = &content[start..end];
        start = end;
        chunk
    })
}

/// Positions of the chunks of a base; `None` for one that it has more than once.
fn unique_positions<'a>(base: &[&'a [u8]]) -> HashMap<&'a [u8], Option<usize>> {
    let mut positions = HashMap::with_capacity(base.len());
    for (position, chunk) in base.iter().enumerate() {
        let first = positions.entry(*chunk).or_insert(Some(position));
        first.take_if(|first| *first != position);
    }
    positions
}
