package org.almondslip.platform;

import org.almondslip.settings.Section;

/**
 * Addresses of the platform's services.
 *
 * @param tableService the address of the table service, as {@code ip:port}
 * @param objectStore the address of the object store, as {@code ip:port}
 * @param instanceList the address of the instance list, as {@code ip:port}
 */
public record PlatformAddresses(String tableService, String objectStore, String instanceList) {

  /**
   * Reads the addresses.
   *
   * @param section the section of the platform; faults become findings
   * @return the addresses, complete only when there is no finding
   */
  public static PlatformAddresses of(Section section) {
    return new PlatformAddresses(
        section.address("table_service"),
        section.address("object_store"),
        section.address("instance_list"));
  }
}
