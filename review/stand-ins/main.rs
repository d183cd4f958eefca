//! The cases of the review. Usage: review-case NAME RECORD [TROUBLE]
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod caller;
mod fleet;
mod http;
mod operator;
mod record;
mod server;
mod template;

mod config_memory;
mod foreign_answer;
mod nested_prefix;
mod pipeline_cut;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use crate::record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path, trouble] = args.as_slice() else {
        eprintln!("usage: review-case NAME RECORD TROUBLE");
        exit(2);
    };
    fleet::list_process(std::process::id());
    let record = Arc::new(Record::create(Path::new(path)));
    let trouble = trouble != "0";
    record.line(format!("case {name}, trouble {trouble}"));
    let verdict = match name.as_str() {
        "config-memory" => config_memory::run(&record, trouble),
        "foreign-answer" => foreign_answer::run(&record, trouble),
        "pipeline-cut" => pipeline_cut::run(&record, trouble),
        "nested-prefix" => nested_prefix::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
