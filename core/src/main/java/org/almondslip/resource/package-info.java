/** Ownership and release of resources. */
package org.almondslip.resource;
