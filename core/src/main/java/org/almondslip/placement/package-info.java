/** Choice of the target that serves a request. */
package org.almondslip.placement;
