//! Departures of backend servers that control processes keep.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cowslip_core::departure::Departure;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::departure_messages::DepartCall;
use cowslip_wire::departure_messages::DeparturesCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::peer_client::PeerClient;

use self::control_fleet::ask;
use self::control_fleet::ControlFleet;
use self::control_fleet::SYSTEM_KEY;

#[path = "support/control_fleet.rs"]
mod control_fleet;

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Nodes that ask at the same time.
const NODES: usize = 60;

fn departure(node: usize) -> Departure {
    Departure {
        node: format!("node-{node}").into(),
        run: "run-1".into(),
        started_ms: Some(100),
        at_ms: 200,
    }
}

fn question(node: usize) -> DeparturesCall {
    DeparturesCall {
        nodes: vec![format!("node-{node}").into()],
        forwarded: false,
    }
}

/// Asks one instance until it answers.
async fn departures_of(
    client: &PeerClient,
    address: SocketAddr,
    node: usize,
) -> Vec<Departure> {
    let began = Instant::now();
    loop {
        let answer = client.send(address, &question(node), MESSAGE_TIMEOUT).await;
        if let Ok(LeaderAnswer::Answered(departures)) = answer {
            return departures;
        }
        assert!(began.elapsed() < TIMEOUT, "no answer: {answer:?}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

// Guards against a node that is told of no departure, or of another node's, because it
// asks an instance that does not lead, together with others, or after a kill of all.
#[test]
fn every_instance_tells_nodes_of_the_departures_of_their_servers() {
    let mut fleet = ControlFleet::spawn();
    let addresses = fleet.addresses.clone();
    actix_rt::System::new().block_on(async {
        let client = PeerClient::new(AccessKey::new(SYSTEM_KEY));
        for node in (0..NODES).step_by(2) {
            let call = DepartCall {
                departure: departure(node),
            };
            ask(&client, &addresses, &call).await;
        }
        for address in &addresses {
            let mut questions = Vec::new();
            for node in 0..NODES {
                let (client, address) = (client.clone(), *address);
                let asking = async move { departures_of(&client, address, node).await };
                questions.push(actix_rt::spawn(asking));
            }
            for (node, asking) in questions.into_iter().enumerate() {
                let departures = asking.await.expect("it ends");
                let kept = node.is_multiple_of(2).then(|| departure(node));
                assert_eq!(departures, Vec::from_iter(kept), "node {node}");
            }
        }
        let mut leaders = 0;
        for address in &addresses {
            let forwarded = DeparturesCall {
                forwarded: true,
                ..question(0)
            };
            let answer = client.send(*address, &forwarded, MESSAGE_TIMEOUT).await;
            let answer = answer.expect("an answer");
            leaders += usize::from(matches!(answer, LeaderAnswer::Answered(_)));
        }
        assert!(leaders <= 1, "an instance that does not lead asked in turn");
        for at in 0..addresses.len() {
            fleet.kill(at);
        }
        for at in 0..addresses.len() {
            fleet.start(at);
        }
        for address in &addresses {
            let departures = departures_of(&client, *address, 0).await;
            assert_eq!(departures, [departure(0)]);
        }
    });
}
