//! Stand-ins and checks of the third review: a store, workers, machines and clients around gateways that run as
//! processes of their own.
//!
//! Usage: standin-3 CASE FOLDER, in the root of the repository. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod log;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    world::watch_time();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(&case, has_trouble) {
        Ok((verdict, record)) => {
            let path = format!("{folder}/record.txt");
            if std::env::var_os("RECORD").is_none_or(|value| value != "0") {
                std::fs::write(&path, record).expect("a record");
            } else {
                print!("{record}");
            }
            println!("{verdict}");
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            ExitCode::from(2)
        }
    }
}
