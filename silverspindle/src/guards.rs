//! Guards that a debug build can go without, to test that the checkers find what they guard against.

/// Whether the guard of this name is left out: named by `SILVERSPINDLE_WITHOUT`, in a debug build alone.
pub(crate) fn without(guard: &str) -> bool {
    cfg!(debug_assertions) && std::env::var("SILVERSPINDLE_WITHOUT").is_ok_and(|out| out == guard)
}
