//! What must hold for a call that runs at most once beside a change of its route, and where connections end at any byte.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use googletest::prelude::*;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use model::{
    call::{CallClass, OUTCOME_HEADER, UPSTREAM_STATE_HEADER},
    config::FleetConfig,
};
use standin::call::{call, request};
use support::{
    TestVm, any_port,
    carriers::FakeCarriers,
    config_where,
    wire::{TestBody, spawn_upstream},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use upstream::pool::PathCut;

/// Spawns an upstream that puts another configuration in force when it is asked, and refuses.
async fn spawn_changing(config: Arc<ArcSwap<FleetConfig>>) -> SocketAddr {
    spawn_upstream(move |_: Request<Incoming>| {
        config.store(Arc::new(config_where(|path| match path {
            "/once" => CallClass::Idempotent,
            _ => CallClass::Unprotected,
        })));
        async {
            let mut refusal = Response::new(TestBody::default());
            *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            refusal.headers_mut().insert(UPSTREAM_STATE_HEADER, "shed".parse().unwrap());
            refusal
        }
    })
    .await
}

/// Spawns an upstream that runs what it reads and ends the connection without an answer.
async fn spawn_losing(ran: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if stream.read(&mut [0; 4_096]).await.is_ok_and(|length| length > 0) {
                ran.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    address
}

// A route's class changes between two tries of a call. Taken anew it would have the call run again after an answer was lost.
#[gtest]
#[tokio::test]
async fn a_call_keeps_the_class_with_which_it_was_taken() {
    let ran = Arc::<AtomicUsize>::default();
    let vm = TestVm::with_budget(&[]).await;
    let mut targets = vec![spawn_changing(vm.config.clone()).await];
    for _ in 0..3 {
        targets.push(spawn_losing(ran.clone()).await);
    }
    *vm.slots.targets.lock().unwrap() = targets;
    let answer = call(vm.address(), request("POST", "/once", &[], b"fee")).await.unwrap();
    expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
    expect_that!(ran.load(Ordering::SeqCst), eq(1));
}

/// An upstream that answers, and once it is told to, reads so many bytes of what comes and ends the connection.
#[derive(Clone, Default)]
struct EndingUpstream {
    ends_after: Arc<AtomicUsize>,
    arrived: Arc<AtomicUsize>,
}

impl EndingUpstream {
    async fn spawn(self) -> SocketAddr {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream) {
        const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        while stream.readable().await.is_ok() {
            let ends_after = self.ends_after.load(Ordering::SeqCst);
            let most = if ends_after == 0 { 16 * 1_024 } else { ends_after };
            let length = stream.read(&mut vec![0; most]).await.unwrap_or(0);
            if ends_after > 0 {
                self.arrived.fetch_add(length, Ordering::SeqCst);
                return;
            }
            if length == 0 || stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }
}

// An upstream ends a connection somewhere in a request, new or used, its own or another VM's. A call of which a byte has arrived
// must not be said to be unsent: it would run again.
#[gtest]
#[tokio::test]
async fn a_call_of_which_a_byte_has_arrived_is_not_sent_again() {
    for (carried, used) in [(false, false), (false, true), (true, false), (true, true)] {
        for ends_after in [1, 20, 70, 4_000] {
            let upstream = EndingUpstream::default();
            let address = upstream.clone().spawn().await;
            let carriers =
                [FakeCarriers::open("vm-0", "p").await, FakeCarriers::open("vm-1", "p").await];
            FakeCarriers::meet(&carriers);
            let [own, other] = carriers;
            let vm = TestVm::among(own, &[address]).await;
            let _carrier = TestVm::among(other, &[address]).await;
            vm.pool.cut(carried.then_some(PathCut::Resets));
            if used {
                vm.get("/read").await;
            }
            upstream.ends_after.store(ends_after, Ordering::SeqCst);
            let body = vec![7; 64 * 1_024];
            let answer = call(vm.address(), request("POST", "/once", &[], &body)).await.unwrap();
            sleep(Duration::from_millis(20)).await;
            let told = format!("carried {carried}, used {used}, ends after {ends_after}");
            expect_that!(
                upstream.arrived.load(Ordering::SeqCst),
                all![ge(1), le(ends_after)],
                "{told}"
            );
            expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"), "{told}");
            expect_that!(vm.slots.asks.lock().unwrap().len(), eq(1 + usize::from(used)), "{told}");
        }
    }
}
