package org.almondslip.dispatch;

/** Receiver of the service that a router gives to organisations. */
@FunctionalInterface
public interface ChargeListener {

  /**
   * Called when a job is sent.
   *
   * @param service the name of the service
   * @param organisation the name of the organisation
   * @param tokens the service in tokens
   */
  void onCharged(String service, String organisation, long tokens);
}
