package org.almondslip.router;

import org.almondslip.duty.EventThread;
import org.almondslip.routing.CallerRequest;

/** Where the callers' API hands its events. */
interface RequestSink {

  /**
   * Takes a request.
   *
   * @param request the request
   * @param taken called when the decisions have counted the request
   * @return false when there is no room for it; taken is not called then
   */
  boolean arrived(CallerRequest request, Runnable taken);

  /**
   * Notes that a caller has consumed bytes of its answer.
   *
   * @param caller the request
   * @param bytes the number of bytes
   */
  void consumed(long caller, long bytes);

  /**
   * Notes that a caller has gone.
   *
   * @param caller the request
   */
  void gone(long caller);

  /**
   * Hands the events to a decision thread.
   *
   * @param eventThread the decision thread
   */
  record ToDuty(EventThread<RouterEvent> eventThread) implements RequestSink {

    @Override
    public boolean arrived(CallerRequest request, Runnable taken) {
      return eventThread.offer(new RouterEvent.Arrived(request, taken));
    }

    @Override
    public void consumed(long caller, long bytes) {
      eventThread.put(new RouterEvent.Consumed(caller, bytes));
    }

    @Override
    public void gone(long caller) {
      eventThread.put(new RouterEvent.Gone(caller));
    }
  }
}
