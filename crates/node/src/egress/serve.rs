//! Requests that other nodes send to the egress.

use super::Egress;
use crate::body;
use crate::carrier::Response;
use knapweed_observe::part;
use knapweed_transport::{Incoming, Sender};
use knapweed_wire::{RequestHead, encode};
use std::sync::Arc;

/// Runs one request from another node and sends its response.
pub async fn request(egress: Arc<Egress>, head: RequestHead, incoming: Incoming) {
    let Incoming {
        from,
        mut sender,
        receiver,
    } = incoming;
    let body = if head.has_body {
        body::from_receiver(receiver)
    } else {
        body::empty()
    };
    let cancelled = sender.cancelled();
    let exchange = async {
        let response = egress.run(head, body).await;
        respond(&mut sender, response).await
    };
    tokio::select! {
        result = exchange => {
            if let Err(err) = result {
                log::debug!(target: part::EGRESS, "response to {from} was cut short: {err}");
            }
        }
        // Dropping the exchange cancels the request at the backend server.
        () = cancelled => {}
    }
}

async fn respond(sender: &mut Sender, response: Response) -> anyhow::Result<()> {
    let head = encode(&response.head)?;
    sender.head(&head).await?;
    body::send(response.body, sender).await?;
    Ok(())
}
