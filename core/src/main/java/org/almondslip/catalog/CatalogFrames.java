package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.almondslip.protocol.wire.CatalogChanges;
import org.almondslip.protocol.wire.CatalogPull;
import org.almondslip.protocol.wire.CatalogRevision;
import org.almondslip.protocol.wire.Frame;

/** Encodes and decodes the frames of the catalog replication protocol. */
final class CatalogFrames {

  /**
   * Size above which changes are split into several frames, in bytes. It is well below the frame
   * limit of 2 MiB, so that heartbeats can be sent in between.
   */
  static final int CHUNK_BYTES = 256 << 10;

  private CatalogFrames() {}

  /**
   * Builds the announcement of a catalog revision.
   *
   * @param revision the revision of the local catalog
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
   * @param after the revision after which changes are requested
   * @return the frame
   */
  static Frame pull(long after) {
    return Frame.newBuilder()
        .setCatalogPull(CatalogPull.newBuilder().setAfterRevision(after))
        .build();
  }

  /**
   * Builds the response to a request for changes.
   *
   * <p>Only the last frame carries the revision of the catalog. The others carry the requested
   * revision, so that a receiver never treats partial changes as complete.
   *
   * @param catalog the catalog to read the changes from
   * @param after the revision after which changes are requested
   * @return the frames in the order in which they are to be sent, at least one
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
   * Encodes an object.
   *
   * @param state the object
   * @return the protocol message
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
   * Decodes the objects of a frame. Objects of kinds that are unknown to this release are skipped.
   *
   * @param changes the frame
   * @return the decoded objects
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
