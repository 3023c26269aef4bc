//! Case 2: the proxy is held up for a moment while a request arrives on a connection that has rested.

use crate::platform::*;
use std::io::Write;

/// How long the connections rest after their first request.
const REST_MS: u64 = 1_600;
/// For how long the proxy is held up.
const HELD_UP_MS: u64 = 80;
/// The size of the request's value: the largest that the protocol allows.
const VALUE_BYTES: usize = 64 * 1024;
const CLIENTS: usize = 4;

pub fn run() -> bool {
    let servers = [Server::start("s1", 5), Server::start("s2", 5)];
    let members = [
        Member { id: "s-1", address: servers[0].address, build: 7 },
        Member { id: "s-2", address: servers[1].address, build: 7 },
    ];
    let discovery = discovery(41, &members);
    let stable = Status { build: 7, wave: 3, state: "stable", cap: 1.0 };
    let release = ReleaseService::start(stable, 4000, |service, mut vote| service.accept(&mut vote));
    let known = list(41, &members);
    let proxy = Proxy::start(&Around { discovery, release: &release, known, memory_mb: 64, sockets: 512 });

    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::open(proxy.address).unwrap()).collect();
    for client in &mut clients {
        let id = format!("first-{}", next_number());
        client.send(&book("key", &id, 2500, b"a small value")).unwrap();
        let answer = client.answer(3000);
        say(&format!("{id} is answered: {answer:?}"));
        assert!(matches!(answer, Answer::Value(_)), "the first request is not served");
    }
    note(&format!("the connections rest for {REST_MS} ms"));
    sleep_ms(REST_MS);

    let mut lost = 0;
    for client in &mut clients {
        let id = format!("call-{}", next_number());
        let request = book("key", &id, 2500, &vec![b'x'; VALUE_BYTES]);
        let stream = client.stream.try_clone().unwrap();
        let held_up_from = elapsed_us();
        if trouble() {
            proxy.signal(SIGSTOP);
            note("the proxy is held up");
        }
        let length = request.len();
        let writing = std::thread::spawn(move || (&stream).write_all(&request).map(|()| stream));
        sleep_ms(HELD_UP_MS);
        if trouble() {
            let written = writing.is_finished();
            let unacknowledged = unacknowledged_bytes(&client.stream);
            note(&format!(
                "{id}: {length} bytes, written: {written}; {unacknowledged} of them not acknowledged by the \
                 proxy's machine"
            ));
            note("the proxy goes on");
            proxy.signal(SIGCONT);
            check_hold_up(held_up_from);
        }
        let written = writing.join().unwrap();
        note(&format!("{id}: its last byte is written: {}", written.is_ok()));
        let answer = client.answer(4000);
        let runs = servers.iter().flat_map(|server| server.runs.lock().unwrap().clone());
        let runs = runs.filter(|run| run.id == id).count();
        say(&format!("{id} is answered: {answer:?}; it ran {runs} times"));
        // A request whose last byte could not be written was not taken.
        let is_answered = matches!(answer, Answer::Value(_) | Answer::Line(_));
        lost += usize::from(written.is_ok() && !is_answered);
    }
    proxy.record_log();
    say(&format!("{lost} of {CLIENTS} requests lost: the proxy ended their connections without an answer"));
    lost > 0
}
