package org.almondslip.faults;

import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.Frame;

/** Steps in the life of a request, most of them recognised by the frame that is being sent. */
enum Step {
  OFFERED {
    @Override
    boolean matches(Frame frame) {
      return frame.hasOffers();
    }
  },
  GRANTED {
    @Override
    boolean matches(Frame frame) {
      return frame.hasGrant();
    }
  },
  DISPATCHED {
    @Override
    boolean matches(Frame frame) {
      return frame.hasDispatch();
    }
  },
  /** The table service has received the claim of an order's key. */
  CLAIMING {
    @Override
    boolean matches(Frame frame) {
      return false;
    }
  },
  /** The target has received the request and has not answered. */
  RUNNING {
    @Override
    boolean matches(Frame frame) {
      return false;
    }
  },
  ANSWER_STARTED {
    @Override
    boolean matches(Frame frame) {
      return frame.hasAnswer() && frame.getAnswer().hasHead();
    }
  },
  STREAMING {
    @Override
    boolean matches(Frame frame) {
      return frame.hasAnswer()
          && frame.getAnswer().getPartCase() == Answer.PartCase.DATA
          && frame.getAnswer().getSequence() == 3;
    }
  },
  ACKNOWLEDGED {
    @Override
    boolean matches(Frame frame) {
      return frame.hasAnswerAck();
    }
  },
  ANSWER_ENDED {
    @Override
    boolean matches(Frame frame) {
      return frame.hasAnswer() && frame.getAnswer().hasEnd();
    }
  };

  abstract boolean matches(Frame frame);
}
