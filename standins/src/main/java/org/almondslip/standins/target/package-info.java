/** Stand-ins for the targets and for the network between regions. */
package org.almondslip.standins.target;
