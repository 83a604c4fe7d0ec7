//! The network between a machine and some others: passes bytes on, or drops them while it is cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Passes connections from one address on to another, unless `cut` is set.
pub fn spawn(from: SocketAddr, to: SocketAddr, cut: Arc<AtomicBool>) -> std::io::Result<()> {
    let listener = TcpListener::bind(from)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || carry(&stream, to, &cut));
        }
    });
    Ok(())
}

fn carry(near: &TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    // What is sent behind a cut gets no answer, and neither does the opening.
    if cut.load(Ordering::SeqCst) {
        while cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = near.shutdown(Shutdown::Both);
        return;
    }
    let Ok(far) = TcpStream::connect(to) else { return };
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
    let back = thread::spawn(move || pass(far_copy, near_copy));
    if let Ok(near) = near.try_clone() {
        pass(near, far);
    }
    let _ = back.join();
}

fn pass(mut from: TcpStream, mut to: TcpStream) {
    let mut piece = [0; 16 * 1_024];
    while let Ok(length) = from.read(&mut piece) {
        if length == 0 || to.write_all(&piece[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
