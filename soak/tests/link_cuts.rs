//! Tests of the proxies through which the processes of a run reach each other.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cowslip_soak::fault_plan::ProcessId;
use cowslip_soak::link_cuts::LinkCuts;
use cowslip_soak::proxy::FleetLinks;
use cowslip_soak::proxy::LinkProxy;

const OPENER: ProcessId = ProcessId::Control(0);
const TARGET: ProcessId = ProcessId::Control(1);

/// Starts a server that echoes, behind a proxy for connections of this process.
async fn proxied_echo(cuts: &Rc<LinkCuts>) -> LinkProxy {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let target = Rc::new(Cell::new(listener.local_addr().unwrap()));
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    let links = FleetLinks {
        cuts: Rc::clone(cuts),
        ..FleetLinks::default()
    };
    let pid = Rc::new(Cell::new(std::process::id()));
    links.processes.add(OPENER, pid);
    LinkProxy::bind(any, target, Some(links.to(TARGET))).unwrap()
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let sent = Instant::now();
    stream.write_all(b"x").await?;
    let mut answer = [0];
    stream.read_exact(&mut answer).await?;
    Ok(sent.elapsed())
}

#[test]
fn a_connection_stays_silent_after_a_cut_and_new_ones_are_answered() {
    actix_rt::System::new().block_on(async {
        let cuts = Rc::new(LinkCuts::default());
        let proxy = proxied_echo(&cuts).await;
        let mut open = TcpStream::connect(proxy.address()).await.unwrap();
        assert!(echo(&mut open).await.unwrap() < Duration::from_millis(200));
        for link in [(OPENER, TARGET), (TARGET, OPENER)] {
            cuts.cut(&[link]);
            let mut refused = TcpStream::connect(proxy.address()).await.unwrap();
            assert!(echo(&mut refused).await.is_err());
            let healing = Rc::clone(&cuts);
            actix_rt::spawn(async move {
                actix_rt::time::sleep(Duration::from_millis(800)).await;
                healing.heal(&[link]);
            });
            // Transmitted again after 0.2, 0.6 and 1.4 s.
            let took = echo(&mut open).await.unwrap();
            assert!((1_300..1_800).contains(&took.as_millis()), "{took:?}");
            let mut new = TcpStream::connect(proxy.address()).await.unwrap();
            assert!(echo(&mut new).await.unwrap() < Duration::from_millis(200));
        }
    });
}

// Guards against a cut that also separates processes that it does not name.
#[test]
fn a_cut_of_other_links_delays_nothing() {
    actix_rt::System::new().block_on(async {
        let cuts = Rc::new(LinkCuts::default());
        let proxy = proxied_echo(&cuts).await;
        cuts.cut(&[
            (ProcessId::Control(2), TARGET),
            (OPENER, ProcessId::Node(0)),
        ]);
        let mut open = TcpStream::connect(proxy.address()).await.unwrap();
        assert!(echo(&mut open).await.unwrap() < Duration::from_millis(200));
    });
}
