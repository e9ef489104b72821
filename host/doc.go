// Command tamarack-host runs one host of the fleet: the entry role, and the control role when its settings name a data folder.
package main
