package org.almondslip.platform;

import org.almondslip.settings.Section;

/**
 * Addresses of the services of the platform.
 *
 * @param tableService the address of the table service, as {@code ip:port}
 * @param objectStore the address of the object store, as {@code ip:port}
 * @param instanceList the address of the instance list, as {@code ip:port}
 */
public record PlatformAddresses(String tableService, String objectStore, String instanceList) {

  /**
   * Reads the addresses. Missing or invalid addresses are added to the findings of the section.
   *
   * @param section the settings of the platform
   * @return the addresses, which are complete only if there are no findings
   */
  public static PlatformAddresses of(Section section) {
    return new PlatformAddresses(
        section.address("table_service"),
        section.address("object_store"),
        section.address("instance_list"));
  }
}
