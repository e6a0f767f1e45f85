/** Stand-ins for the platform's table service, object store and instance list. */
package org.almondslip.standins.platform;
