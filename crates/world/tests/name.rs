//! Names accept the documented characters and refuse everything else.

use assert_matches::assert_matches;
use knapweed_world::Name;
use knapweed_world::name::Error;
use proptest::prelude::*;

#[test]
fn bad_names_are_refused_with_the_position() {
    assert_matches!("".parse::<Name>(), Err(Error::Empty));
    assert_matches!("a".repeat(64).parse::<Name>(), Err(Error::TooLong(64)));
    assert_matches!(
        "a b".parse::<Name>(),
        Err(Error::BadByte {
            index: 1,
            byte: b' '
        })
    );
}

proptest! {
    /// Guards against a panic in `as_str`, which relies on names being ASCII.
    #[test]
    fn any_bytes_are_refused_or_readable(bytes in proptest::collection::vec(any::<u8>(), 0..80)) {
        if let Ok(name) = Name::from_bytes(bytes.clone().into()) {
            prop_assert_eq!(name.as_str().as_bytes(), &bytes[..]);
        }
    }
}
