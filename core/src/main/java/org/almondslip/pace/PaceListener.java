package org.almondslip.pace;

/** Receives changes of the pace of targets, for logs and metrics. */
public interface PaceListener {

  /**
   * Called when a target is taken to be cold.
   *
   * @param target the id of the target
   * @param reason why
   * @param millis the expected remaining time, in milliseconds
   */
  void onCold(String target, ColdReason reason, long millis);

  /**
   * Called when a target is no longer taken to be cold.
   *
   * @param target the id of the target
   * @param reason why
   */
  void onWarm(String target, ColdReason reason);

  /** Called when a request is sent to a cold target. */
  void onPermitGranted();

  /**
   * Called when a request that was dispatched is not sent.
   *
   * @param reason why
   */
  void onPermitWithheld(WithholdReason reason);

  /**
   * Called when the window of a target has started, was decreased or has ended.
   *
   * @param target the id of the target
   * @param change why
   * @param window the concurrent requests that all routers together may have
   */
  void onWindow(String target, WindowChange change, int window);

  /** Listener that does nothing. */
  enum NoOp implements PaceListener {
    INSTANCE;

    @Override
    public void onCold(String target, ColdReason reason, long millis) {}

    @Override
    public void onWarm(String target, ColdReason reason) {}

    @Override
    public void onWindow(String target, WindowChange change, int window) {}

    @Override
    public void onPermitGranted() {}

    @Override
    public void onPermitWithheld(WithholdReason reason) {}
  }
}
