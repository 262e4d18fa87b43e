//! Guards that a debug build can go without, to test that the checkers find what they guard against.

/// A refusal is given only on the proof of its request's attempts.
pub(crate) const REFUSAL_PROOF: &str = "refusal_proof";
/// An own copy that is lost says nothing of what may have run.
pub(crate) const OWN_COPY_LOSS: &str = "own_copy_loss";

/// Whether the guard of this name is left out: named by `SILVERSPINDLE_WITHOUT`, in a debug build alone.
pub(crate) fn without(guard: &str) -> bool {
    cfg!(debug_assertions) && std::env::var("SILVERSPINDLE_WITHOUT").is_ok_and(|out| out == guard)
}
