/** The node daemon: its settings, the assembly of its components, and its startup and shutdown. */
package org.plantainshunt.node;
