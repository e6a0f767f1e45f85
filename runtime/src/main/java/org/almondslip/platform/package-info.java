/** HTTP clients of the platform's table service, object store and instance list. */
package org.almondslip.platform;
