//! Parts of requests that are compared between callers.

use cowslip_node::call_forward;

// Guards against an IPv6 host that is cut at one of its colons, so that its routes are
// not found and different hosts are taken for one.
#[test]
fn the_name_of_a_host_has_no_port() {
    for (host, name) in [
        ("Example.org", "example.org"),
        ("example.org:8080", "example.org"),
        ("10.0.0.1:80", "10.0.0.1"),
        ("[::1]", "[::1]"),
        ("[2001:DB8::1]:8080", "[2001:db8::1]"),
        ("", ""),
    ] {
        assert_eq!(call_forward::host_name(host), name, "{host}");
    }
}
