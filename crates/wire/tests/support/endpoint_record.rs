use std::net::SocketAddr;

use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;

/// The first record of a serving backend server.
pub fn endpoint_record(instance: &str) -> EndpointRecord {
    EndpointRecord {
        instance: instance.into(),
        service: "records".into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        slots: 9,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    }
}
