//! Prints the shipped operators' file:
//! `cargo run -p silverspindle-conf --example shipped > deploy/silverspindle.conf`.

fn main() {
    print!("{}", silverspindle_conf::shipped());
}
