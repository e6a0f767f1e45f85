/** Release of resources. */
package org.almondslip.resource;
