//! Names of guards that can be disabled in a debug build, to test that the checkers find the faults that the
//! guards prevent.

/// The guard that a request is refused only if its attempts prove that a retry does no harm.
pub(crate) const REFUSAL_PROOF: &str = "refusal_proof";
/// The guard that a lost own copy is not taken as proof that no attempt has run.
pub(crate) const OWN_COPY_LOSS: &str = "own_copy_loss";

/// Whether the guard of this name is disabled: it is named by the environment variable
/// `SILVERSPINDLE_WITHOUT`, and this is a debug build.
pub(crate) fn is_disabled(guard: &str) -> bool {
    cfg!(debug_assertions) && std::env::var("SILVERSPINDLE_WITHOUT").is_ok_and(|out| out == guard)
}
