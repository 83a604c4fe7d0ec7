//! One piece of work for all who ask for the same while it is under way.
//!
//! Load: an answer takes longer than whoever asks waits, who then asks again. Each question would begin the work anew,
//! beside the first, and take its memory once more.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::watch;

type Running<T> = HashMap<u128, watch::Receiver<Option<T>>>;

/// Work under way, by what it is done for.
#[derive(Clone, Debug)]
pub struct SharedWork<T> {
    running: Arc<Mutex<Running<T>>>,
}

impl<T> Default for SharedWork<T> {
    fn default() -> Self {
        Self { running: Arc::default() }
    }
}

impl<T: Clone + Send + Sync + 'static> SharedWork<T> {
    /// Begins a piece of work, or joins it where it is under way. It goes on when the asker stops waiting. `None`: it
    /// ended without a result.
    pub async fn join<F>(&self, key: u128, work: impl FnOnce() -> F) -> Option<T>
    where
        F: Future<Output = T> + Send + 'static,
    {
        let mut result = self.begin(key, work);
        let ended = result.wait_for(Option::is_some).await;
        ended.ok().and_then(|result| result.clone())
    }

    fn begin<F>(&self, key: u128, work: impl FnOnce() -> F) -> watch::Receiver<Option<T>>
    where
        F: Future<Output = T> + Send + 'static,
    {
        let mut running = self.running();
        if let Some(result) = running.get(&key) {
            return result.clone();
        }
        let (sender, result) = watch::channel(None);
        running.insert(key, result.clone());
        let (work, ending) = (work(), RunningWork { all: self.clone(), key });
        tokio::spawn(async move {
            let end = work.await;
            // Whoever asks from now on begins anew.
            drop(ending);
            sender.send_replace(Some(end));
        });
        result
    }

    fn running(&self) -> MutexGuard<'_, Running<T>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes work off the list however it ends.
struct RunningWork<T: Clone + Send + Sync + 'static> {
    all: SharedWork<T>,
    key: u128,
}

impl<T: Clone + Send + Sync + 'static> Drop for RunningWork<T> {
    fn drop(&mut self) {
        self.all.running().remove(&self.key);
    }
}
