package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.almondslip.protocol.wire.CatalogChanges;
import org.almondslip.protocol.wire.CatalogPull;
import org.almondslip.protocol.wire.CatalogRevision;
import org.almondslip.protocol.wire.Frame;

/** Builds and reads the frames of the catalog. */
final class CatalogFrames {

  /**
   * Size above which changes are continued in another frame, in bytes; well below the frame limit
   * of 2 MiB, so that heartbeats pass in between.
   */
  static final int CHUNK_BYTES = 256 << 10;

  /** Not instantiable. */
  private CatalogFrames() {}

  /**
   * Builds an announcement.
   *
   * @param revision the revision
   * @return the frame
   */
  static Frame revision(long revision) {
    return Frame.newBuilder()
        .setCatalogRevision(CatalogRevision.newBuilder().setRevision(revision))
        .build();
  }

  /**
   * Builds a request for changes.
   *
   * @param after the revision after which changes are wanted
   * @return the frame
   */
  static Frame pull(long after) {
    return Frame.newBuilder()
        .setCatalogPull(CatalogPull.newBuilder().setAfterRevision(after))
        .build();
  }

  /**
   * Builds the answer to a request for changes.
   *
   * <p>Only the last frame carries the catalog's revision. The earlier ones repeat the requested
   * one, so that a receiver never takes a part for the whole.
   *
   * @param catalog the catalog
   * @param after the revision after which changes are wanted
   * @return the frames in order
   */
  static List<Frame> changes(Catalog catalog, long after) {
    List<Frame> frames = new ArrayList<>();
    CatalogChanges.Builder part = CatalogChanges.newBuilder().setRevision(after);
    int size = 0;
    for (VersionedObject state : catalog.changedAfter(after)) {
      org.almondslip.protocol.wire.CatalogObject object = toWire(state);
      if (size > 0 && size + object.getSerializedSize() > CHUNK_BYTES) {
        frames.add(Frame.newBuilder().setCatalogChanges(part).build());
        part = CatalogChanges.newBuilder().setRevision(after);
        size = 0;
      }
      part.addObjects(object);
      size += object.getSerializedSize();
    }
    part.setRevision(catalog.revision());
    frames.add(Frame.newBuilder().setCatalogChanges(part).build());
    return frames;
  }

  /**
   * Converts an object.
   *
   * @param state the object
   * @return its wire form
   */
  private static org.almondslip.protocol.wire.CatalogObject toWire(VersionedObject state) {
    return org.almondslip.protocol.wire.CatalogObject.newBuilder()
        .setKind(state.object().kind().label())
        .setName(state.object().name())
        .setNumber(state.number())
        .setRevision(state.revision())
        .setJson(Kind.toJson(state.object()))
        .build();
  }

  /**
   * Reads the objects of a frame. Kinds that a later release has added are skipped.
   *
   * @param changes the frame
   * @return the objects
   */
  static List<VersionedObject> toStates(CatalogChanges changes) {
    List<VersionedObject> states = new ArrayList<>();
    for (org.almondslip.protocol.wire.CatalogObject object : changes.getObjectsList()) {
      Optional<Kind> kind = Kind.ofLabel(object.getKind());
      kind.ifPresent(
          known ->
              states.add(
                  new VersionedObject(
                      known.parse(object.getJson()), object.getNumber(), object.getRevision())));
    }
    return states;
  }
}
