//! Answers of a control instance that consists of an update source alone.

use std::cell::RefCell;
use std::time::Duration;
use std::time::Instant;

use cowslip_core::follow_exchange::FollowCall;
use cowslip_core::update_source::UpdateSource;
use cowslip_wire::http_reply::HttpReply;
use cowslip_wire::message_reply;

/// Interval at which the source is asked whether its answer is due.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Waits for the answer of `source`, whose time began at `started`, to a poll.
pub async fn follow_answer(
    source: &RefCell<UpdateSource>,
    started: Instant,
    call: FollowCall,
) -> HttpReply {
    let id = source.borrow_mut().follow(started.elapsed(), call);
    loop {
        let answers = source.borrow_mut().tick(started.elapsed());
        for answer in answers {
            if answer.followers.contains(&id) {
                return message_reply::encoded(&answer.reply);
            }
        }
        actix_rt::time::sleep(TICK_INTERVAL).await;
    }
}
