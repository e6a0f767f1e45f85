package org.almondslip.execution;

import static org.assertj.core.api.Assertions.assertThat;

import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Header;
import org.junit.jupiter.api.Test;

class TargetCallTest {

  /**
   * Guards against a caller that impersonates another organisation by sending the organisation
   * header.
   */
  @Test
  void targetReceivesAuthenticatedOrganisation() {
    Header forged = Header.newBuilder().setName("x-organisation").setValue("other").build();
    Header kept = Header.newBuilder().setName("Accept").setValue("*/*").build();
    Dispatch dispatch =
        Dispatch.newBuilder().setOrganisation("acme").addHeaders(forged).addHeaders(kept).build();
    Header named = Header.newBuilder().setName("X-Organisation").setValue("acme").build();
    assertThat(TargetCall.of(1, dispatch).headers()).containsExactly(kept, named);
  }
}
