//! Plays the cases of the review: real processes against small stand-ins on loopback.

mod cases;
mod http;
mod mp;
mod site;
mod state;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    // A case that hangs could not run; the script ends its processes.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(117));
        println!("2: not over in time");
        std::process::exit(2);
    });
    let code = cases::play(&case, trouble);
    std::process::exit(code);
}
