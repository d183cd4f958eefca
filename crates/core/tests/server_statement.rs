//! Statements of backend servers in the headers of their answers.

use cowslip_core::server_statement::ServerStatement;
use cowslip_core::server_statement::StatedRate;

fn rate(value: &str) -> StatedRate {
    ServerStatement::parse(Some(value), None).rate
}

#[test]
fn a_rate_is_a_decimal_number_that_is_not_negative() {
    assert_eq!(rate("24"), StatedRate::CallsPerSecond(24.0));
    assert_eq!(rate(" 4.7 "), StatedRate::CallsPerSecond(4.7));
    assert_eq!(rate("0"), StatedRate::CallsPerSecond(0.0));
    for unreadable in ["", "-1", "many", "NaN", "inf", "1e999", "4,7"] {
        assert_eq!(rate(unreadable), StatedRate::Unreadable, "{unreadable:?}");
    }
}

#[test]
fn an_answer_without_headers_states_nothing() {
    assert!(ServerStatement::parse(None, None).is_empty());
    assert!(!ServerStatement::parse(Some("?"), None).is_empty());
}

#[test]
fn a_server_is_leaving_unless_the_header_says_zero() {
    let leaving = |value| ServerStatement::parse(None, value).leaving;
    assert!(leaving(Some("1")));
    assert!(leaving(Some("")));
    assert!(!leaving(Some("0")));
    assert!(!leaving(None));
}
