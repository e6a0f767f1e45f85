package org.almondslip.bench.slopes;

import java.util.AbstractQueue;
import java.util.Collections;
import java.util.Iterator;

/** Queue of a receiver that takes no part in a measurement; it drops all frames. */
final class DroppingQueue extends AbstractQueue<Port.Delivery> {

  @Override
  public boolean offer(Port.Delivery delivery) {
    return true;
  }

  @Override
  public Port.Delivery poll() {
    return null;
  }

  @Override
  public Port.Delivery peek() {
    return null;
  }

  @Override
  public Iterator<Port.Delivery> iterator() {
    return Collections.emptyIterator();
  }

  @Override
  public int size() {
    return 0;
  }
}
